package dtstand

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtlisten"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtplatform"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtproxy"
)

// Command is a request to the admin interface, where Action is one of:
//
//	faults   set the faults of the platform
//	save     take a snapshot of the platform's keys
//	restore  restore the keys that begin with Name from the snapshot
//	leave    list the backend server Name as draining
//	gone     list the backend server Name as gone
//	join     list the backend server Name as present again
//	proxy    set the mode and the delay of the proxy Name
//	block    set the blocked source addresses of the proxy Name
//	chill    make the engine Name cold for DelayMs
//	crash    crash the engine or service Name
type Command struct {
	Action          string            `json:"do"`
	Name            string            `json:"name"`
	Mode            dtproxy.Mode      `json:"mode"`
	DelayMs         int               `json:"delay_ms"`
	BlockedPrefixes []string          `json:"block"`
	Faults          dtplatform.Faults `json:"faults"`
}

// Stats holds the counters of the simulated systems.
type Stats struct {
	Engines   []dtengine.Stats      `json:"engines"`
	RunCounts map[string]int        `json:"runs"` // Number of runs by idempotency key, over all services.
	Platform  dtplatform.CallCounts `json:"platform"`
}

func (env *Environment) startAdmin() error {
	if env.Settings.AdminAddress == "" {
		return nil
	}
	httpServer, err := dtlisten.New(env.Settings.AdminAddress, env.handleAdmin)
	if err != nil {
		return err
	}
	env.adminServer = httpServer
	httpServer.Start()
	return nil
}

// handleAdmin returns the counters on GET, and executes a Command on any other method.
func (env *Environment) handleAdmin(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		body, _ := json.Marshal(env.Stats())
		ctx.SetBody(body)
		return
	}
	var c Command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if err := env.Execute(c); err != nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		ctx.SetBodyString(err.Error())
	}
}

// Stats returns the current counters of the platform, the engines and the services.
func (env *Environment) Stats() Stats {
	stats := Stats{RunCounts: map[string]int{}, Platform: env.Platform.Store.Counts()}
	for _, h := range env.Settings.Engines {
		stats.Engines = append(stats.Engines, env.Engines[h.Server].Stats())
	}
	for _, svc := range env.Services {
		for key, count := range svc.RunCounts() {
			stats.RunCounts[key] += count
		}
	}
	return stats
}

// Execute executes a command, or returns an error if the action or the name of a proxy,
// engine or service is unknown.
func (env *Environment) Execute(c Command) error {
	switch c.Action {
	case "faults":
		env.Platform.Store.SetFaults(c.Faults)
	case "save":
		env.Platform.Store.SaveSnapshot()
	case "restore":
		env.Platform.Store.RestoreSnapshot(c.Name)
	case "leave", "gone", "join":
		env.SetHostState(c.Name, c.Action != "join", c.Action == "gone")
	case "proxy", "block":
		return env.configureProxy(c)
	case "chill", "crash":
		return env.injectServerFault(c)
	default:
		return errNotFound
	}
	return nil
}

func (env *Environment) configureProxy(c Command) error {
	p := env.Proxies[c.Name]
	if p == nil {
		return errNotFound
	}
	if c.Action == "block" {
		p.BlockSources(c.BlockedPrefixes)
		return nil
	}
	p.SetMode(c.Mode, time.Duration(c.DelayMs)*time.Millisecond)
	return nil
}

// injectServerFault crashes an engine or a service, or makes an engine cold.
func (env *Environment) injectServerFault(c Command) error {
	if svc := env.Services[c.Name]; svc != nil && c.Action == "crash" {
		svc.Crash()
		return nil
	}
	e := env.Engines[c.Name]
	if e == nil {
		return errNotFound
	}
	if c.Action == "crash" {
		e.Crash()
		return nil
	}
	e.MakeCold(time.Duration(c.DelayMs) * time.Millisecond)
	return nil
}
