package dtcapacity

import "time"

// Load is what is known of the requests at a server and of its speed.
type Load struct {
	InFlight int     // Running and waiting there, or under way.
	Slots    int     // Requests that run at the same time; zero if unknown.
	Slowdown float64 // See Speed.
}

// Work is what a request and those before it need.
type Work struct {
	Hold     time.Duration // Usual time for which a request holds a slot; zero if unknown.
	Tokens   int           // Of its prompt that the server has still to read.
	PerToken time.Duration // Usual time to read one.
}

// Start is when a request is expected to start at a server, from now on.
type Start struct {
	Wait    time.Duration // Until it has a slot.
	Reading time.Duration // From then until its prompt is read.
}

// ExpectedStart returns when another request would start at a server. Of n requests that hold the slots, one ends each
// n-th part of the time that each of them holds a slot.
func ExpectedStart(load Load, work Work) Start {
	slowdown := max(load.Slowdown, 0)
	start := Start{Reading: scale(work.PerToken, slowdown*float64(max(work.Tokens, 0)))}
	if ahead := load.InFlight + 1 - load.Slots; load.Slots > 0 && ahead > 0 {
		start.Wait = scale(work.Hold, slowdown*float64(ahead)/float64(load.Slots))
	}
	return start
}

// Total returns when the first event is expected.
func (s Start) Total() time.Duration { return s.Wait + s.Reading }

// Fits reports whether the request has a slot before its deadline.
func (s Start) Fits(deadline, now time.Time) bool { return now.Add(s.Wait).Before(deadline) }

// RetryAfter returns the time after which a request with as much time as remaining has a slot before its deadline, if no more
// requests come.
func (s Start) RetryAfter(remaining time.Duration) time.Duration { return max(s.Wait-remaining, 0) }

// maxTime bounds estimates, so that they can be added up.
const maxTime = time.Hour

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(maxTime)))
}
