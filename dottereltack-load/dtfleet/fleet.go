package dtfleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtstand"
)

// Times of starting and stopping.
const (
	readyWithin = 20 * time.Second
	pollEvery   = 20 * time.Millisecond
	callWithin  = 3 * time.Second
)

// Errors of a fleet.
var (
	errNotReady = errors.New("process did not become ready")
	errAnswer   = errors.New("unexpected answer")
)

// Fleet is the running processes.
type Fleet struct {
	Topology Topology
	Dir      string
	Bin      string
	Stand    dtstand.Settings
	Routers  []*Router
	stand    *exec.Cmd
}

// Start starts stand-ins and routers from the programs in bin and waits until every
// router is ready; dir takes settings and logs.
func Start(t Topology, bin, dir string) (*Fleet, error) {
	f := &Fleet{Topology: t, Dir: dir, Bin: bin}
	ports := newPorts()
	var err error
	f.Stand, err = t.stand(ports)
	if err != nil {
		return nil, err
	}
	f.plan(ports)
	steps := []func() error{f.startStand, f.startRouters, f.WaitReady}
	for _, step := range steps {
		if err := step(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// newPorts returns a source of ports that were free a moment ago, below the range
// from which the system takes ports for outgoing connections.
func newPorts() func() int {
	const low, high, ephemeral = 12_000, 30_000, 32_768
	next := low + int(time.Now().UnixNano()/int64(time.Microsecond))%(high-low)
	return func() int {
		for {
			next++
			if next >= ephemeral {
				next = low
			}
			ln, err := net.Listen("tcp", fmt.Sprintf(":%d", next))
			if err == nil {
				_ = ln.Close()
				return next
			}
		}
	}
}

// plan makes the settings of every router.
func (f *Fleet) plan(ports func() int) {
	t := &f.Topology
	var seeds []string
	for d, domain := range t.Domains {
		for i := range t.Routers[d] {
			ip := routerIP(d, i)
			h := dtconfig.Host{
				Router: fmt.Sprintf("%s-r%d", domain, i), FailureDomain: domain, Region: t.Region, Site: "site",
				CallersAddress:   fmt.Sprintf("%s:%d", ip, ports()),
				PeersAddress:     fmt.Sprintf("%s:%d", ip, ports()),
				OperatorsAddress: fmt.Sprintf("%s:%d", ip, ports()),
				PlatformAddress:  f.Stand.Platform.Address, PeerKeys: []string{PeerKey},
				StopTimeoutMs: int(max(t.StopWithin, 10*time.Second).Milliseconds()),
			}
			f.proxied(&h, ports)
			if i == 0 {
				seeds = append(seeds, h.AdvertisedAddress())
			}
			f.Routers = append(f.Routers, &Router{Name: h.Router, Domain: domain, Host: h})
		}
	}
	for _, r := range f.Routers {
		r.Host.Seeds = seeds
	}
}

// proxied puts fault proxies before a router and between it and the platform.
func (f *Fleet) proxied(h *dtconfig.Host, ports func() int) {
	if !f.Topology.Proxied {
		return
	}
	h.PeersAdvertised = local(ports())
	platform := local(ports())
	f.Stand.Proxies = append(f.Stand.Proxies,
		dtstand.ProxySettings{Name: h.Router, Address: h.PeersAdvertised, Target: h.PeersAddress},
		dtstand.ProxySettings{Name: "platform-" + h.Router, Address: platform, Target: f.Stand.Platform.Address})
	h.PlatformAddress = platform
}

func (f *Fleet) startStand() error {
	path := filepath.Join(f.Dir, "stand.jsonc")
	if err := writeSettings(path, &f.Stand); err != nil {
		return err
	}
	cmd, err := f.spawn("stand.log", "dottereltack-stand", "run", "--settings", path)
	if err != nil {
		return err
	}
	f.stand = cmd
	return f.until(func() bool {
		_, err := f.Numbers()
		return err == nil
	})
}

func writeSettings(path string, v any) error {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append([]byte("// written for a fleet on loopback\n"), body...), 0o600)
}

// spawn starts one program with its output in a log file.
func (f *Fleet) spawn(logName, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(f.Dir, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(f.Bin, program), args...) //nolint:gosec,noctx // Tests start their own programs.
	cmd.Stdout, cmd.Stderr = out, out
	return cmd, cmd.Start()
}

// WaitReady waits until every router that runs says that it is ready, knows all
// routers and has an owner's word on every server.
func (f *Fleet) WaitReady() error {
	for _, r := range f.Routers {
		if !r.Running() {
			continue
		}
		err := f.until(func() bool {
			status, _, err := get("http://" + r.Host.CallersAddress + dtapi.PathReady)
			return err == nil && status == fasthttp.StatusOK
		})
		if err != nil {
			return fmt.Errorf("%w: %s", err, r.Name)
		}
	}
	return nil
}

// until polls a condition from outside the fleet.
func (f *Fleet) until(ok func() bool) error {
	deadline := time.Now().Add(readyWithin)
	for time.Now().Before(deadline) {
		if ok() {
			return nil
		}
		time.Sleep(pollEvery)
	}
	return errNotReady
}

// Stop ends every process of the fleet and returns the largest exit code of the
// routers.
func (f *Fleet) Stop() int {
	var wg sync.WaitGroup
	codes := make([]int, len(f.Routers))
	for i, r := range f.Routers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			codes[i], _ = r.Terminate()
		}()
	}
	wg.Wait()
	if f.stand != nil {
		_ = f.stand.Process.Signal(syscall.SIGTERM)
		_ = f.stand.Wait()
		f.stand = nil
	}
	most := 0
	for _, c := range codes {
		most = max(most, c)
	}
	return most
}

// Do has the stand-ins carry out a command.
func (f *Fleet) Do(c dtstand.Command) error {
	body, err := json.Marshal(&c)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + f.Stand.AdminAddress + "/")
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, callWithin); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%w: %s", errAnswer, resp.Body())
	}
	return nil
}

// Numbers returns what the stand-ins have counted.
func (f *Fleet) Numbers() (dtstand.Stats, error) {
	var n dtstand.Stats
	_, body, err := get("http://" + f.Stand.AdminAddress + "/")
	if err != nil {
		return n, err
	}
	return n, json.Unmarshal(body, &n)
}

// Cut separates failure domains from each other, or from the platform, by what the
// proxies let pass; an empty list heals.
func (f *Fleet) Cut(domains []int, platform bool) error {
	cut := map[string]bool{}
	for _, d := range domains {
		cut[f.Topology.Domains[d]] = true
	}
	for _, p := range f.Stand.Proxies {
		home := f.domainOf(p.Name)
		var block []string
		for d, name := range f.Topology.Domains {
			if name != home && (cut[name] || cut[home]) {
				block = append(block, Source(d))
			}
		}
		if router, ok := strings.CutPrefix(p.Name, "platform-"); ok {
			block = nil
			if platform && cut[f.domainOf(router)] {
				block = []string{"127."}
			}
		}
		if err := f.Do(dtstand.Command{Action: "block", Name: p.Name, BlockedPrefixes: block}); err != nil {
			return err
		}
	}
	return nil
}

// domainOf returns the failure domain of a router or server by its name.
func (f *Fleet) domainOf(name string) string {
	for _, d := range f.Topology.Domains {
		if strings.Contains(name, d) {
			return d
		}
	}
	return ""
}

// Delay makes every proxied piece of data wait, as the way between domains does.
func (f *Fleet) Delay(d time.Duration) error {
	for _, p := range f.Stand.Proxies {
		err := f.Do(dtstand.Command{Action: "proxy", Name: p.Name, Mode: "pass", DelayMs: int(d.Milliseconds())})
		if err != nil {
			return err
		}
	}
	return nil
}

// WriteBase writes the topology's configuration to a file, as operators keep it.
func (f *Fleet) WriteBase() (string, error) {
	path := filepath.Join(f.Dir, "base.jsonc")
	site := f.Topology.site()
	return path, writeSettings(path, &site)
}

// Operator calls the operators' interface of a router.
func (f *Fleet) Operator(r *Router, method, path string, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + r.Host.OperatorsAddress + path)
	req.Header.Set("X-Operator-Key", PeerKey)
	if err := fasthttp.DoTimeout(req, resp, callWithin); err != nil {
		return err
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return fmt.Errorf("%w: %d %s", errAnswer, resp.StatusCode(), resp.Body())
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), out)
}

// Command runs the operators' command line against a router and returns its output.
func (f *Fleet) Command(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(f.Bin, "dottereltack"), args...) //nolint:gosec,noctx // Tests start their own programs.
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	return out.String(), err
}

// get makes one short HTTP call.
func get(uri string) (int, []byte, error) {
	return fasthttp.GetTimeout(nil, uri, callWithin)
}
