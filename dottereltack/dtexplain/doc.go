// Package dtexplain explains the outcome of requests and lists refusals from router logs.
package dtexplain
