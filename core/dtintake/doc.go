// Package dtintake decides which connections of callers a process may hold, and how much memory each may take. It does no
// I/O: Ledger takes the present time as an argument and returns, as data, whether something is granted and which
// connections are to be closed for it.
package dtintake
