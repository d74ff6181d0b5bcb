package dtconfig

import (
	"encoding/hex"
	"fmt"
	"net/netip"
)

// Upper bounds of configuration values, and the size of a key digest.
const (
	maxLoadBound          = 10
	maxWeight             = 1000
	maxInFlight           = 100_000
	maxRetryRatio         = 1
	maxOrderWindowSeconds = 3600
	digestBytes           = 32
)

// validate returns the first error in s, or nil.
func (s *Site) validate() *FieldError {
	checks := []func() *FieldError{s.validateDomains, s.validateGroups, s.validateAccounts, s.validateLimits}
	for _, c := range checks {
		if err := c(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) validateDomains() *FieldError {
	if len(s.FailureDomains) == 0 {
		return &FieldError{Field: "failure_domains", Reason: "at least one is required"}
	}
	for _, name := range SortedKeys(s.FailureDomains) {
		if s.FailureDomains[name].Region == "" {
			return &FieldError{Field: "failure_domains." + name, Reason: "region is missing"}
		}
	}
	for _, name := range s.OutOfServiceDomains {
		if _, ok := s.FailureDomains[name]; !ok {
			return &FieldError{Field: "domains_out", Reason: fmt.Sprintf("unknown failure domain %q", name)}
		}
	}
	return nil
}

func (s *Site) validateGroups() *FieldError {
	for _, name := range SortedKeys(s.Groups) {
		g := s.Groups[name]
		field := "groups." + name
		switch {
		case g.Kind != KindEngine && g.Kind != KindService:
			return &FieldError{Field: field, Reason: "kind must be engine or service"}
		case g.MaxInFlight < 1 || g.MaxInFlight > maxInFlight:
			return rangeError(field+".max_inflight", 1, maxInFlight)
		case g.ColdMaxInFlight < 1 || g.ColdMaxInFlight > g.MaxInFlight:
			return rangeError(field+".cold_cap", 1, g.MaxInFlight)
		case g.SlowFirstTokenMs < 1:
			return rangeError(field+".first_token_slow_ms", 1, DefaultFirstByteTimeoutMs)
		}
	}
	return nil
}

func (s *Site) validateAccounts() *FieldError {
	accountByDigest := map[string]string{}
	for _, name := range SortedKeys(s.Accounts) {
		a := s.Accounts[name]
		field := "accounts." + name
		if a.Weight <= 0 || a.Weight > maxWeight {
			return rangeError(field+".weight", 0, maxWeight)
		}
		for _, digest := range a.KeyDigests {
			raw, err := hex.DecodeString(digest)
			if err != nil || len(raw) != digestBytes {
				return &FieldError{Field: field + ".key_digests", Reason: "must be a SHA-256 digest in hexadecimal"}
			}
			if other, ok := accountByDigest[digest]; ok {
				return &FieldError{Field: field + ".key_digests", Reason: "the key already belongs to account " + other}
			}
			accountByDigest[digest] = name
		}
	}
	return nil
}

func (s *Site) validateLimits() *FieldError {
	l := s.Limits
	switch {
	case l.LoadBound < 1 || l.LoadBound > maxLoadBound:
		return rangeError("limits.load_bound", 1, maxLoadBound)
	case l.RetryRatio < 0 || l.RetryRatio > maxRetryRatio:
		return rangeError("limits.retry_ratio", 0, maxRetryRatio)
	case l.OrderWindowSeconds < 1 || l.OrderWindowSeconds > maxOrderWindowSeconds:
		return rangeError("limits.order_window_s", 1, maxOrderWindowSeconds)
	case l.FirstByteTimeoutMs < 1:
		return &FieldError{Field: "limits.first_byte_ms", Reason: "must be positive"}
	case l.RampMs < 0 || l.MaxHomeWaitMs < 0 || l.ModelLoadsPerMinute < 0 || l.MaxQueuedPerAccount < 0 || l.MaxQueuedPerShard < 0 || l.MaxRequestsInFlight < 0:
		return &FieldError{Field: "limits", Reason: "limits must not be negative"}
	}
	switch l.Policy {
	case PolicyAffinityBounded, PolicyRendezvous, PolicyLeastLoaded, PolicyRandom:
		return nil
	}
	return &FieldError{Field: "limits.policy", Reason: fmt.Sprintf("unknown policy %q", l.Policy)}
}

func rangeError(field string, low, high int) *FieldError {
	return &FieldError{Field: field, Reason: fmt.Sprintf("must be between %d and %d", low, high)}
}

// validateAddress returns an error unless address is an IP address with a port.
func validateAddress(field, address string) *FieldError {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &FieldError{Field: field, Reason: fmt.Sprintf("%q is not an IP address with a port", address)}
	}
	return nil
}
