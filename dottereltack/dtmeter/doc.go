// Package dtmeter defines the metrics of a router, including the volume of control traffic,
// which has a budget.
package dtmeter
