package dtfleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
)

// Router is one router process of a fleet.
type Router struct {
	Name         string
	Domain       string
	Host         dtconfig.Host
	SettingsPath string
	LogPath      string
	mu           sync.Mutex
	cmd          *exec.Cmd
}

func (f *Fleet) startRouters() error {
	for _, r := range f.Routers {
		r.SettingsPath = filepath.Join(f.Dir, r.Name+".jsonc")
		r.LogPath = filepath.Join(f.Dir, r.Name+".log")
		if err := writeSettings(r.SettingsPath, &r.Host); err != nil {
			return err
		}
		if err := f.StartRouter(r); err != nil {
			return err
		}
	}
	return nil
}

// StartRouter starts the process of a router.
func (f *Fleet) StartRouter(r *Router) error {
	level := f.Topology.LogLevel
	if level == "" {
		level = "info"
	}
	cmd, err := f.spawn(r.Name+".log", "dottereltack", "run", "--settings", r.SettingsPath, "--log-level", level)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.cmd = cmd
	r.mu.Unlock()
	return nil
}

// Running reports whether the router's process has been started and not yet stopped.
func (r *Router) Running() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd != nil
}

// Signal sends a signal to the router's process, if it runs.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s)
	}
}

// Pause stops the router's process until it gets SIGCONT, and returns once all its threads stand
// still; the signal alone takes effect some time after it is sent.
func (r *Router) Pause() error {
	const pollInterval, maxPolls = time.Millisecond, 2000
	r.Signal(syscall.SIGSTOP)
	for range maxPolls {
		if isStopped(r.PID()) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("router %s did not stop", r.Name)
}

// PID returns the ID of the router's process, or 0 if there is none.
func (r *Router) PID() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return 0
	}
	return r.cmd.Process.Pid
}

// isStopped reports whether all threads of a process have been stopped by a signal.
func isStopped(pid int) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		_, state, found := strings.Cut(string(text), ") ") // The state follows the name in parentheses.
		if err != nil || !found || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Kill kills the router's process.
func (r *Router) Kill() { _, _ = r.signalAndWait(syscall.SIGKILL) }

// Terminate stops the router gracefully and returns its exit code.
func (r *Router) Terminate() (int, error) { return r.signalAndWait(syscall.SIGTERM) }

// signalAndWait sends a signal that ends the router's process and waits until it exits.
func (r *Router) signalAndWait(s syscall.Signal) (int, error) {
	r.mu.Lock()
	cmd := r.cmd
	r.cmd = nil
	r.mu.Unlock()
	if cmd == nil {
		return 0, nil
	}
	_ = cmd.Process.Signal(s)
	_ = cmd.Process.Signal(syscall.SIGCONT) // A stopped process handles SIGTERM only once it continues.
	err := cmd.Wait()
	return cmd.ProcessState.ExitCode(), err
}
