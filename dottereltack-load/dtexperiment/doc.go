// Package dtexperiment compares placement policies in simulated scenarios such as
// steady load, churn, cold starts and crashing requests.
package dtexperiment
