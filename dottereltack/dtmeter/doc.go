// Package dtmeter holds the metrics of a router, among them those that show whether control
// traffic stays within its budget.
package dtmeter
