// Package dtmodel simulates a fleet in one process and in virtual time. It connects the
// reducers of many routers by a seeded network and models backend servers and the
// platform. Fuzz tests, placement experiments and size measurements use it.
package dtmodel
