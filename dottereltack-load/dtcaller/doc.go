// Package dtcaller is an HTTP client of the fleet that sends chats and orders and
// checks that answers are complete and their tokens in sequence.
package dtcaller
