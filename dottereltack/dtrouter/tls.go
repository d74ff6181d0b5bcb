package dtrouter

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dottereltack/dottereltack/core/dtconfig"
)

// certificate is a TLS certificate that is reloaded when its file changes.
type certificate struct {
	certFile, keyFile string
	mu                sync.Mutex
	modTime           time.Time
	cert              *tls.Certificate
}

// withTLS wraps ln in a TLS listener if the settings name a certificate.
func withTLS(ln net.Listener, host *dtconfig.Host) (net.Listener, error) {
	if host.TLSCertFile == "" {
		return ln, nil
	}
	c := &certificate{certFile: host.TLSCertFile, keyFile: host.TLSKeyFile}
	if _, err := c.load(nil); err != nil {
		return nil, merry.Wrap(err, merry.WithValue("step", "load_certificate"), merry.WithValue("peer", host.TLSCertFile))
	}
	return tls.NewListener(ln, &tls.Config{GetCertificate: c.load, MinVersion: tls.VersionTLS12}), nil
}

// load returns the certificate, reloaded if its file has changed. If that fails, the old
// one stays in use.
func (c *certificate) load(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.certFile)
	if err == nil && info.ModTime().Equal(c.modTime) {
		return c.cert, nil
	}
	cert, loadErr := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if loadErr != nil {
		if c.cert != nil {
			return c.cert, nil
		}
		return nil, loadErr
	}
	c.cert = &cert
	if err == nil {
		c.modTime = info.ModTime()
	}
	return c.cert, nil
}
