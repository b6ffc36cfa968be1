package keys

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// pollInterval is the interval at which the files are checked for changes.
	pollInterval = time.Second
	// expiryWarningInterval is the interval between two warnings of one certificate.
	expiryWarningInterval = 24 * time.Hour
	// expiryWarningFraction is the divisor of a certificate's validity: warnings are logged in its last quarter.
	expiryWarningFraction = 4
)

// Ring holds the keys in force.
type Ring struct {
	files   Files
	log     *zap.Logger
	now     func() time.Time
	current atomic.Pointer[keySet]

	// Used by the goroutine of Run alone.
	version       string    // of the files when they were last read
	loadError     string    // why they could not be loaded, as last logged
	lastWarning   time.Time // of the certificate's expiry
	expiredLogged bool
}

// Open reads the files. The error names what an operator has to fix.
func Open(files Files, log *zap.Logger) (*Ring, error) {
	r := &Ring{files: files, log: log, now: time.Now}
	r.version = files.version()
	set, err := files.load(r.now())
	if err != nil {
		return nil, err
	}
	r.current.Store(set)
	return r, nil
}

// Run follows the files until the context ends. Keys that can't be used are logged, and those in force stay.
func (r *Ring) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		r.poll()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll reloads files that have changed, and logs the certificate's expiry.
func (r *Ring) poll() {
	version := r.files.version()
	if version != r.version || r.loadError != "" {
		r.version = version
		r.reload()
	}
	r.checkExpiry()
}

// reload loads the files. In the middle of a change they need not fit each other, so a failure is logged once and
// loading is tried again.
func (r *Ring) reload() {
	set, err := r.files.load(r.now())
	if err != nil {
		if err.Error() != r.loadError {
			r.loadError = err.Error()
			r.log.Error("keys rejected", zap.Error(err))
		}
		return
	}
	r.current.Store(set)
	r.loadError, r.lastWarning, r.expiredLogged = "", time.Time{}, false
	r.log.Info("keys reloaded", zap.String("cert", r.files.Cert), zap.Time("until", set.certificate.Leaf.NotAfter))
}

// checkExpiry logs that the certificate expires soon, once in expiryWarningInterval, and that it has expired, once.
func (r *Ring) checkExpiry() {
	leaf := r.current.Load().certificate.Leaf
	now := r.now()
	remaining := leaf.NotAfter.Sub(now)
	if remaining <= 0 {
		if !r.expiredLogged {
			r.expiredLogged = true
			r.log.Error("certificate expired", zap.String("cert", r.files.Cert), zap.Time("until", leaf.NotAfter))
		}
		return
	}
	warningPeriod := leaf.NotAfter.Sub(leaf.NotBefore) / expiryWarningFraction
	if remaining < warningPeriod && now.Sub(r.lastWarning) >= expiryWarningInterval {
		r.lastWarning = now
		r.log.Warn("certificate expires soon", zap.String("cert", r.files.Cert), zap.Time("until", leaf.NotAfter),
			zap.Duration("left", remaining.Round(time.Minute)))
	}
}

// Server returns the configuration of a TLS server, which follows the keys in force. Sessions are not resumed: the
// client's certificate may have lost its trust since.
func (r *Ring) Server() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			set := r.current.Load()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				SessionTicketsDisabled: true,
				Certificates:           []tls.Certificate{set.certificate},
				ClientCAs:              set.authorities,
				ClientAuth:             tls.RequireAndVerifyClientCert,
			}, nil
		},
	}
}

// Client returns the configuration of one connection to an address. The certificate there has to name the host.
func (r *Ring) Client(address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	set := r.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   host,
		RootCAs:      set.authorities,
		Certificates: []tls.Certificate{set.certificate},
	}
}
