// Package dtconfig defines the settings of a host and the configuration of a site.
// It parses both from JSON with comments, merges site overlays and validates them.
package dtconfig
