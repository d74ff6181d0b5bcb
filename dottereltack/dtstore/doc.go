// Package dtstore makes the reducer's calls to the platform over HTTP. It never
// retries, as only the reducer knows whether a call may be repeated.
package dtstore
