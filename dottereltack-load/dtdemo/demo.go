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

// Sizes of the demonstration.
const (
	chats  = 12
	turns  = 4
	orders = 20
	tokens = 24
)

// Report is what the demonstration saw.
type Report struct {
	Lost, Doubled, Cut, Moved int
	chats                     []chatRow
	orders                    map[string]int
	orderRows                 []orderRow
}

// orderRow is where one order and its resend went.
type orderRow struct {
	name, first, again, server string
	replayed                   bool
}

// chatRow is where one chat went.
type chatRow struct {
	name    string
	routers []string
	servers []string
	whole   int
}

// Run starts a fleet from the programs in bin, sends traffic and writes a table to w;
// it returns false when anything was lost, doubled or cut.
func Run(w io.Writer, bin string, seed uint64) (bool, error) {
	dir, err := os.MkdirTemp("", "dottereltack-run-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, err := dtfleet.Start(dtfleet.SmallSite(), bin, dir)
	if err != nil {
		return false, err
	}
	r := &Report{orders: map[string]int{}}
	start := time.Now()
	r.sendChats(fleet, seed)
	r.sendOrders(fleet, seed)
	took := time.Since(start)
	numbers, err := fleet.Numbers()
	if err != nil {
		fleet.Stop()
		return false, err
	}
	for key := range r.orders {
		if runs := numbers.RunCounts[key]; runs > 1 {
			r.Doubled += runs - 1
		} else if runs == 0 {
			r.Lost++
		}
	}
	code := fleet.Stop()
	r.print(w, took)
	_, _ = fmt.Fprintf(w, "routers_exit_code=%d\n", code)
	return r.Lost+r.Doubled+r.Cut == 0 && code == 0, nil
}

// sendChats lets every chat return several times, each time through another router.
func (r *Report) sendChats(fleet *dtfleet.Fleet, seed uint64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range chats {
		wg.Add(1)
		go func() {
			defer wg.Done()
			row, lost, cut := runChat(fleet, i, seed)
			mu.Lock()
			defer mu.Unlock()
			r.chats = append(r.chats, row)
			r.Lost += lost
			r.Cut += cut
		}()
	}
	wg.Wait()
	sort.Slice(r.chats, func(i, j int) bool { return r.chats[i].name < r.chats[j].name })
}

// runChat sends the turns of one chat and checks every answer.
func runChat(fleet *dtfleet.Fleet, i int, seed uint64) (row chatRow, lost, cut int) {
	random := rand.New(rand.NewPCG(seed, uint64(i))) //nolint:gosec // A seeded run is meant to repeat.
	caller := dtcaller.New(dtfleet.KeyOf(dtfleet.Accounts()[i%len(dtfleet.Accounts())]))
	defer caller.Close()
	row.name = fmt.Sprintf("chat-%02d", i)
	t := dtcaller.Turn{Chat: row.name, Model: fleet.Topology.EngineGroup, MaxTokens: tokens}
	t.Messages = append(t.Messages, dtcaller.Message("system", strings.Repeat("You draft posters. ", 20)))
	for turn := range turns {
		t.Messages = append(t.Messages, dtcaller.Message("user", fmt.Sprintf("turn %d of %s", turn, row.name)))
		entry := fleet.Routers[random.IntN(len(fleet.Routers))]
		res := caller.Chat(entry.Host.CallersAddress, &t)
		want := dtengine.ExpectedText(dtengine.Prefixes(t.Messages), tokens)
		switch {
		case res.Whole && res.Text == want:
			row.whole++
		case res.Whole:
			lost++
		default:
			cut++
		}
		row.routers = append(row.routers, res.Router)
		row.servers = append(row.servers, res.Server)
		t.Messages = append(t.Messages, dtcaller.Message("assistant", res.Text))
	}
	return row, lost, cut
}

// sendOrders sends every order twice, the second time through another router.
func (r *Report) sendOrders(fleet *dtfleet.Fleet, _ uint64) {
	for i := range orders {
		caller := dtcaller.New(dtfleet.KeyOf(dtfleet.Accounts()[i%len(dtfleet.Accounts())]))
		key := dtcaller.NewKey()
		body := fmt.Appendf(nil, `{"poster":%d}`, i)
		first := fleet.Routers[i%len(fleet.Routers)].Host.CallersAddress
		second := fleet.Routers[(i+1)%len(fleet.Routers)].Host.CallersAddress
		a := caller.Call(first, fleet.Topology.ServiceGroup, "print", key, body)
		b := caller.Call(second, fleet.Topology.ServiceGroup, "print", key, body)
		if a.Whole {
			r.orders[key] = 1
		} else {
			r.Lost++
		}
		r.orderRows = append(r.orderRows, orderRow{fmt.Sprintf("order-%02d", i), a.Router, b.Router, a.Server, b.Replayed})
		if b.Whole && string(a.Body) != string(b.Body) {
			r.Doubled++
		}
		caller.Close()
	}
}

func (r *Report) print(w io.Writer, took time.Duration) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "CHAT\tWHOLE\tENTERED AT\tSERVED BY")
	whole := 0
	for _, c := range r.chats {
		whole += c.whole
		_, _ = fmt.Fprintf(t, "%s\t%d/%d\t%s\t%s\n", c.name, c.whole, turns, strings.Join(c.routers, " "), strings.Join(unique(c.servers), " "))
	}
	_, _ = fmt.Fprintln(t, "\nORDER\tRUN BY\tENTERED AT\tSENT AGAIN AT\tANSWERED FROM THE FIRST RUN")
	for _, o := range r.orderRows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%t\n", o.name, o.server, o.first, o.again, o.replayed)
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "\nchats=%d answers=%d whole=%d orders=%d resends=%d lost=%d doubled=%d cut=%d seconds=%.1f\n",
		chats, chats*turns, whole, len(r.orders), orders, r.Lost, r.Doubled, r.Cut, took.Seconds())
}

func unique(list []string) []string {
	var out []string
	for _, s := range list {
		if len(out) == 0 || out[len(out)-1] != s {
			out = append(out, s)
		}
	}
	return out
}
