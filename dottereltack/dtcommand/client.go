package dtcommand

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack/dthead"
	"github.com/dottereltack/dottereltack/dottereltack/dtmeter"
	"github.com/dottereltack/dottereltack/dottereltack/dtoperator"
	"github.com/dottereltack/dottereltack/dottereltack/dtstore"
	"github.com/dottereltack/dottereltack/dottereltack/dttimeline"
)

const callTimeout = 3 * time.Second // Timeout of one call to a router.

// errRouterRejected is returned when a router responds to a call with an error status.
var errRouterRejected = errors.New("router rejected the request")

// settingsFlag returns the flag for the host settings, which contain the addresses of a router
// and the platform.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "settings file of any host, JSON with comments"}
}

// sourceFlags returns the flags that select the source of records: a running fleet or log
// files.
func sourceFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings file of any host, JSON with comments"},
		logsFlag(),
	}
}

// fleetClient calls routers and the platform on behalf of an operator.
type fleetClient struct {
	host  *dtconfig.Host
	store *dtstore.Client
	http  *fasthttp.Client // For routers.
}

func newClient(host *dtconfig.Host) *fleetClient {
	return &fleetClient{host: host, store: dtstore.New(host.PlatformAddress, "", dtmeter.New()), http: &fasthttp.Client{Dial: dthead.Dial}}
}

// newFleetClient returns a client for the fleet described by the settings file of the
// command.
func newFleetClient(cmd *cli.Command) (*fleetClient, error) {
	host, err := readHost(cmd.String("settings"))
	if err != nil {
		return nil, err
	}
	return newClient(host), nil
}

// call makes one call to a router's operator API and decodes the response into out, if not nil.
func (f *fleetClient) call(method, address, path string, out any) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set(dtoperator.HeaderKey, f.host.PeerKeys[0])
	if err := f.http.DoTimeout(req, resp, callTimeout); err != nil {
		return merry.Wrap(err, merry.WithValue("step", path), merry.WithValue("peer", address))
	}
	if resp.StatusCode() >= http.StatusBadRequest {
		return fmt.Errorf("%w: %s %s: %s", errRouterRejected, address, path, resp.Body())
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), out)
}

// status returns the status of the router in the settings file.
func (f *fleetClient) status() (*dtoperator.Status, error) {
	out := &dtoperator.Status{}
	err := f.call(http.MethodGet, f.host.OperatorsAddress, dtoperator.PathStatus, out)
	return out, err
}

// forEachMember calls every member that has not died or left, and returns those that
// could not be reached.
func (f *fleetClient) forEachMember(call func(m dtoperator.MemberStatus) error) ([]string, error) {
	status, err := f.status()
	if err != nil {
		return nil, err
	}
	var unreached []string
	for _, m := range status.Members {
		if m.Status == dtstate.MemberDead.String() || m.Status == dtstate.MemberLeft.String() {
			continue
		}
		if err := call(m); err != nil {
			unreached = append(unreached, m.Router)
		}
	}
	return unreached, nil
}

// statuses returns the status of every router, and the routers that could not be reached.
func (f *fleetClient) statuses() ([]dtoperator.Status, []string, error) {
	var out []dtoperator.Status
	unreached, err := f.forEachMember(func(m dtoperator.MemberStatus) error {
		var st dtoperator.Status
		err := f.call(http.MethodGet, m.OperatorsAddress, dtoperator.PathStatus, &st)
		if err == nil {
			out = append(out, st)
		}
		return err
	})
	return out, unreached, err
}

// events returns the timelines of all routers, and the routers that could not be reached.
func (f *fleetClient) events(since uint64) ([]dttimeline.Event, []string, error) {
	var out []dttimeline.Event
	path := dtoperator.PathTimeline + "?since=" + url.QueryEscape(fmt.Sprint(since))
	unreached, err := f.forEachMember(func(m dtoperator.MemberStatus) error {
		var list []dttimeline.Event
		err := f.call(http.MethodGet, m.OperatorsAddress, path, &list)
		out = append(out, list...)
		return err
	})
	return out, unreached, err
}

// pendingRefusals returns every router's refusals that the platform does not store yet,
// and the routers that could not be reached.
func (f *fleetClient) pendingRefusals() ([]dtoperator.PendingRefusals, []string, error) {
	var out []dtoperator.PendingRefusals
	unreached, err := f.forEachMember(func(m dtoperator.MemberStatus) error {
		var p dtoperator.PendingRefusals
		err := f.call(http.MethodGet, m.OperatorsAddress, dtoperator.PathRefusals, &p)
		if err == nil {
			out = append(out, p)
		}
		return err
	})
	return out, unreached, err
}
