// Package dtdemo runs a small fleet with multi-turn chats, orders and resends and
// prints which routers and servers handled them.
package dtdemo
