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

// certificateLoader loads a TLS certificate and reloads it when its file changes.
type certificateLoader struct {
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
	loader := &certificateLoader{certFile: host.TLSCertFile, keyFile: host.TLSKeyFile}
	if _, err := loader.getCertificate(nil); err != nil {
		return nil, merry.Wrap(err, merry.WithValue("step", "load_certificate"), merry.WithValue("peer", host.TLSCertFile))
	}
	return tls.NewListener(ln, &tls.Config{GetCertificate: loader.getCertificate, MinVersion: tls.VersionTLS12}), nil
}

// getCertificate implements tls.Config.GetCertificate. It reloads the certificate if its
// file has changed, and keeps the old one if that fails.
func (c *certificateLoader) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
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
