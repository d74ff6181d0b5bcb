// Package dtbudget applies the decisions of dtintake to the connections of callers: it counts what they hold, and closes
// those that the ledger names.
package dtbudget
