package dtdemo

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/dottereltack/dottereltack/dottereltack-load/dtcaller"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtfleet"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
)

// Amount of traffic in the demonstration.
const (
	chatCount       = 12
	turnsPerChat    = 4
	orderCount      = 20
	tokensPerAnswer = 24
)

// Report collects the results of the demonstration.
type Report struct {
	Lost, Duplicated, Interrupted, Moved int
	chatRows                             []chatRow
	confirmedOrders                      map[string]int
	orderRows                            []orderRow
}

// orderRow is one order, the routers that received it and its resend, and the server
// that ran it.
type orderRow struct {
	name, firstRouter, resendRouter, server string
	replayed                                bool
}

// chatRow is one chat, with the router and the server of each turn.
type chatRow struct {
	name      string
	routers   []string
	servers   []string
	completed int // Turns answered completely and correctly.
}

// Run starts a fleet from the binaries in bin, sends traffic, writes a table to w and
// returns false if a request was lost, duplicated or interrupted or if a router exited
// with an error.
func Run(w io.Writer, bin string, seed uint64) (bool, error) {
	dir, err := os.MkdirTemp("", "dottereltack-run-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, err := dtfleet.Start(dtfleet.SmallTopology(), bin, dir)
	if err != nil {
		return false, err
	}
	r := &Report{confirmedOrders: map[string]int{}}
	start := time.Now()
	r.sendChats(fleet, seed)
	r.sendOrders(fleet, seed)
	elapsed := time.Since(start)
	counters, err := fleet.StandCounters()
	if err != nil {
		fleet.Stop()
		return false, err
	}
	for key := range r.confirmedOrders {
		if runs := counters.RunCounts[key]; runs > 1 {
			r.Duplicated += runs - 1
		} else if runs == 0 {
			r.Lost++
		}
	}
	exitCode := fleet.Stop()
	r.writeTable(w, elapsed)
	_, _ = fmt.Fprintf(w, "routers_exit_code=%d\n", exitCode)
	return r.Lost+r.Duplicated+r.Interrupted == 0 && exitCode == 0, nil
}

// sendChats runs all chats concurrently, each turn through a random router.
func (r *Report) sendChats(fleet *dtfleet.Fleet, seed uint64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range chatCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			row, lost, interrupted := runChat(fleet, i, seed)
			mu.Lock()
			defer mu.Unlock()
			r.chatRows = append(r.chatRows, row)
			r.Lost += lost
			r.Interrupted += interrupted
		}()
	}
	wg.Wait()
	sort.Slice(r.chatRows, func(i, j int) bool { return r.chatRows[i].name < r.chatRows[j].name })
}

// runChat sends the turns of one chat and compares every answer with the expected one.
func runChat(fleet *dtfleet.Fleet, i int, seed uint64) (row chatRow, lost, interrupted int) {
	random := rand.New(rand.NewPCG(seed, uint64(i))) //nolint:gosec // Seeded for reproducible runs.
	caller := dtcaller.New(dtfleet.AccountKey(dtfleet.Accounts()[i%len(dtfleet.Accounts())]))
	defer caller.Close()
	row.name = fmt.Sprintf("chat-%02d", i)
	t := dtcaller.Turn{ChatID: row.name, Model: fleet.Topology.EngineGroup, MaxTokens: tokensPerAnswer}
	t.Messages = append(t.Messages, dtcaller.Message("system", strings.Repeat("You draft posters. ", 20)))
	for turn := range turnsPerChat {
		t.Messages = append(t.Messages, dtcaller.Message("user", fmt.Sprintf("turn %d of %s", turn, row.name)))
		router := fleet.Routers[random.IntN(len(fleet.Routers))]
		result := caller.Chat(router.Host.CallersAddress, &t)
		want := dtengine.ExpectedText(dtengine.Prefixes(t.Messages), tokensPerAnswer)
		switch {
		case result.Completed && result.Text == want:
			row.completed++
		case result.Completed:
			lost++
		default:
			interrupted++
		}
		row.routers = append(row.routers, result.Router)
		row.servers = append(row.servers, result.Server)
		t.Messages = append(t.Messages, dtcaller.Message("assistant", result.Text))
	}
	return row, lost, interrupted
}

// sendOrders sends every order twice with the same key, the second time through
// another router.
func (r *Report) sendOrders(fleet *dtfleet.Fleet, _ uint64) {
	for i := range orderCount {
		caller := dtcaller.New(dtfleet.AccountKey(dtfleet.Accounts()[i%len(dtfleet.Accounts())]))
		key := dtcaller.NewIdempotencyKey()
		body := fmt.Appendf(nil, `{"poster":%d}`, i)
		firstAddress := fleet.Routers[i%len(fleet.Routers)].Host.CallersAddress
		resendAddress := fleet.Routers[(i+1)%len(fleet.Routers)].Host.CallersAddress
		firstResult := caller.CallService(firstAddress, fleet.Topology.ServiceGroup, "print", key, body)
		resendResult := caller.CallService(resendAddress, fleet.Topology.ServiceGroup, "print", key, body)
		if firstResult.Completed {
			r.confirmedOrders[key] = 1
		} else {
			r.Lost++
		}
		r.orderRows = append(r.orderRows, orderRow{fmt.Sprintf("order-%02d", i), firstResult.Router, resendResult.Router, firstResult.Server, resendResult.Replayed})
		if resendResult.Completed && string(firstResult.Body) != string(resendResult.Body) {
			r.Duplicated++
		}
		caller.Close()
	}
}

func (r *Report) writeTable(w io.Writer, elapsed time.Duration) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "CHAT\tCOMPLETE\tENTRY ROUTERS\tSERVED BY")
	complete := 0
	for _, c := range r.chatRows {
		complete += c.completed
		_, _ = fmt.Fprintf(t, "%s\t%d/%d\t%s\t%s\n", c.name, c.completed, turnsPerChat, strings.Join(c.routers, " "), strings.Join(compact(c.servers), " "))
	}
	_, _ = fmt.Fprintln(t, "\nORDER\tRUN BY\tENTRY ROUTER\tRESENT TO\tREPLAYED")
	for _, o := range r.orderRows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%t\n", o.name, o.server, o.firstRouter, o.resendRouter, o.replayed)
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "\nchats=%d answers=%d whole=%d orders=%d resends=%d lost=%d doubled=%d cut=%d seconds=%.1f\n",
		chatCount, chatCount*turnsPerChat, complete, len(r.confirmedOrders), orderCount, r.Lost, r.Duplicated, r.Interrupted, elapsed.Seconds())
}

// compact returns list without adjacent duplicates.
func compact(list []string) []string {
	var out []string
	for _, s := range list {
		if len(out) == 0 || out[len(out)-1] != s {
			out = append(out, s)
		}
	}
	return out
}
