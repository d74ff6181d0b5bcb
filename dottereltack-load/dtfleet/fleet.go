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

// Timeouts and intervals of the fleet's control.
const (
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	callTimeout  = 3 * time.Second
)

var (
	errNotReady           = errors.New("process did not become ready")
	errUnexpectedResponse = errors.New("unexpected response")
)

// Fleet is a running fleet: a process for each router, and one for the simulated
// platform, the simulated backend servers and the fault proxies.
type Fleet struct {
	Topology      Topology
	Dir           string // Settings and logs.
	BinDir        string
	StandSettings dtstand.Settings
	Routers       []*Router
	standProcess  *exec.Cmd
}

// Start starts the processes of a fleet from the binaries in bin, with their settings and
// logs in dir, and waits until every router is ready.
func Start(t Topology, bin, dir string) (*Fleet, error) {
	f := &Fleet{Topology: t, Dir: dir, BinDir: bin}
	allocatePort := newPortAllocator()
	var err error
	f.StandSettings, err = t.standSettings(allocatePort)
	if err != nil {
		return nil, err
	}
	f.configureRouters(allocatePort)
	steps := []func() error{f.startStand, f.startRouters, f.WaitReady}
	for _, step := range steps {
		if err := step(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// newPortAllocator returns a function that returns free ports. They are below the
// ephemeral range, from which the system takes ports for outgoing connections.
func newPortAllocator() func() int {
	const minPort, maxStart, ephemeralStart = 12_000, 30_000, 32_768
	next := minPort + int(time.Now().UnixNano()/int64(time.Microsecond))%(maxStart-minPort)
	return func() int {
		for {
			next++
			if next >= ephemeralStart {
				next = minPort
			}
			ln, err := net.Listen("tcp", fmt.Sprintf(":%d", next))
			if err == nil {
				_ = ln.Close()
				return next
			}
		}
	}
}

func (f *Fleet) configureRouters(allocatePort func() int) {
	t := &f.Topology
	var seeds []string
	for d, domain := range t.Domains {
		for i := range t.RoutersPerDomain[d] {
			ip := routerIP(d, i)
			h := dtconfig.Host{
				Router: fmt.Sprintf("%s-r%d", domain, i), FailureDomain: domain, Region: t.Region, Site: "site",
				CallersAddress:   fmt.Sprintf("%s:%d", ip, allocatePort()),
				PeersAddress:     fmt.Sprintf("%s:%d", ip, allocatePort()),
				OperatorsAddress: fmt.Sprintf("%s:%d", ip, allocatePort()),
				PlatformAddress:  f.StandSettings.Platform.Address, PeerKeys: []string{PeerKey},
				ShutdownTimeoutMs: int(max(t.ShutdownTimeout, 10*time.Second).Milliseconds()),
				MaxBodyBytes:      t.MaxBodyBytes, MemoryMB: t.MemoryMB, MaxDescriptors: t.MaxDescriptors,
			}
			f.addProxies(&h, allocatePort)
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

// addProxies puts fault proxies in front of a router and between it and the platform, if
// the topology has proxies.
func (f *Fleet) addProxies(h *dtconfig.Host, allocatePort func() int) {
	if !f.Topology.HasProxies {
		return
	}
	h.PeersAdvertised = loopbackAddress(allocatePort())
	platform := loopbackAddress(allocatePort())
	f.StandSettings.Proxies = append(f.StandSettings.Proxies,
		dtstand.ProxySettings{Name: h.Router, Address: h.PeersAdvertised, Target: h.PeersAddress},
		dtstand.ProxySettings{Name: "platform-" + h.Router, Address: platform, Target: f.StandSettings.Platform.Address})
	h.PlatformAddress = platform
}

func (f *Fleet) startStand() error {
	path := filepath.Join(f.Dir, "stand.jsonc")
	if err := writeSettings(path, &f.StandSettings); err != nil {
		return err
	}
	cmd, err := f.spawn("stand.log", "dottereltack-stand", "run", "--settings", path)
	if err != nil {
		return err
	}
	f.standProcess = cmd
	return f.poll(func() bool {
		_, err := f.StandCounters()
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

// spawn starts a program whose output goes to a log file.
func (f *Fleet) spawn(logName, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(f.Dir, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(f.BinDir, program), args...) //nolint:gosec,noctx // Runs the project's own binaries.
	cmd.Stdout, cmd.Stderr = out, out
	return cmd, cmd.Start()
}

// WaitReady waits until every running router reports that it is ready, that is, has a
// configuration and knows a server, though perhaps not yet all other routers.
func (f *Fleet) WaitReady() error {
	for _, r := range f.Routers {
		if !r.Running() {
			continue
		}
		err := f.poll(func() bool {
			status, _, err := get("http://" + r.Host.CallersAddress + dtapi.PathReady)
			return err == nil && status == fasthttp.StatusOK
		})
		if err != nil {
			return fmt.Errorf("%w: %s", err, r.Name)
		}
	}
	return nil
}

// poll waits until condition returns true, up to readyTimeout.
func (f *Fleet) poll(condition func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if condition() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errNotReady
}

// Stop stops all processes of the fleet gracefully and returns the highest exit code of
// the routers.
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
	if f.standProcess != nil {
		_ = f.standProcess.Process.Signal(syscall.SIGTERM)
		_ = f.standProcess.Wait()
		f.standProcess = nil
	}
	maxCode := 0
	for _, c := range codes {
		maxCode = max(maxCode, c)
	}
	return maxCode
}

// ControlStand sends a command, such as a fault to inject, to the simulated components.
func (f *Fleet) ControlStand(c dtstand.Command) error {
	body, err := json.Marshal(&c)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + f.StandSettings.AdminAddress + "/")
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%w: %s", errUnexpectedResponse, resp.Body())
	}
	return nil
}

// StandCounters returns the counters of the simulated components.
func (f *Fleet) StandCounters() (dtstand.Stats, error) {
	var n dtstand.Stats
	_, body, err := get("http://" + f.StandSettings.AdminAddress + "/")
	if err != nil {
		return n, err
	}
	return n, json.Unmarshal(body, &n)
}

// Partition makes the proxies disconnect the given failure domains from all others and,
// if platform is set, from the platform; without domains it ends the partition.
func (f *Fleet) Partition(domains []int, platform bool) error {
	partitioned := map[string]bool{}
	for _, d := range domains {
		partitioned[f.Topology.Domains[d]] = true
	}
	for _, p := range f.StandSettings.Proxies {
		ownDomain := f.domainOf(p.Name)
		var block []string
		for d, name := range f.Topology.Domains {
			if name != ownDomain && (partitioned[name] || partitioned[ownDomain]) {
				block = append(block, DomainIPPrefix(d))
			}
		}
		if router, ok := strings.CutPrefix(p.Name, "platform-"); ok {
			block = nil
			if platform && partitioned[f.domainOf(router)] {
				block = []string{"127."}
			}
		}
		if err := f.ControlStand(dtstand.Command{Action: "block", Name: p.Name, BlockedPrefixes: block}); err != nil {
			return err
		}
	}
	return nil
}

// domainOf returns the failure domain in the name of a router or server.
func (f *Fleet) domainOf(name string) string {
	for _, d := range f.Topology.Domains {
		if strings.Contains(name, d) {
			return d
		}
	}
	return ""
}

// SetLinkDelay delays all data that passes a proxy, to simulate the network between
// failure domains.
func (f *Fleet) SetLinkDelay(d time.Duration) error {
	for _, p := range f.StandSettings.Proxies {
		err := f.ControlStand(dtstand.Command{Action: "proxy", Name: p.Name, Mode: "pass", DelayMs: int(d.Milliseconds())})
		if err != nil {
			return err
		}
	}
	return nil
}

// WriteBaseConfig writes the topology's configuration to a file, as operators do, and
// returns its path.
func (f *Fleet) WriteBaseConfig() (string, error) {
	path := filepath.Join(f.Dir, "base.jsonc")
	site := f.Topology.site()
	return path, writeSettings(path, &site)
}

// CallOperator calls the operator API of a router and decodes the JSON response into out
// unless that is nil.
func (f *Fleet) CallOperator(r *Router, method, path string, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + r.Host.OperatorsAddress + path)
	req.Header.Set("X-Operator-Key", PeerKey)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return err
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return fmt.Errorf("%w: %d %s", errUnexpectedResponse, resp.StatusCode(), resp.Body())
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), out)
}

// RunCommand runs the operators' command-line program and returns its output.
func (f *Fleet) RunCommand(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(f.BinDir, "dottereltack"), args...) //nolint:gosec,noctx // Runs the project's own binaries.
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	return out.String(), err
}

func get(uri string) (int, []byte, error) {
	return fasthttp.GetTimeout(nil, uri, callTimeout)
}
