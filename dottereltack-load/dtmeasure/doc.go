// Package dtmeasure runs the product's measurements. It prints each metric as a
// name=value line and writes a JSON report and plots.
package dtmeasure
