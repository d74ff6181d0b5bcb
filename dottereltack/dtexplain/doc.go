// Package dtexplain reconstructs the course of a request, and the refusals, from router logs.
package dtexplain
