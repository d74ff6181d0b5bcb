// Package dtcrowd is a stand-in for clients that do not behave: many connections at once whose bodies, heads or responses do
// not end, or that send without reading. It is for tests.
package dtcrowd
