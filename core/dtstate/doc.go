// Package dtstate implements the control logic of a router as a reducer: State.Step
// applies one event at a given time and returns the resulting effects as data. It does no
// I/O, reads no clock, takes no lock and draws random numbers only from a seeded
// generator, so that equal events give equal effects.
//
// A caller's request is admitted by its entry router, which the caller is connected to. A
// group is a set of interchangeable backend servers: engines that serve the same model, or
// instances of one service. The servers of a group are divided into shards; the owner of a
// shard is the router that grants slots at its servers, one for each attempt in flight.
// The entry router requests a slot from the owner of the chat's home server, which ranks
// first for the chat by rendezvous hashing and probably has its prompt cached. The owner
// grants a slot, forwards the request to another owner, queues it or denies it.
//
// The owner limits the requests in flight at a server by a cap. A server counts as cold
// after its start or after several slow first bytes; its cap then starts low and doubles
// with success until the server is warm.
//
// An answer that ends before it is complete is cut. The owner then probes the server and
// sends the entry router a verdict on whether the server crashed. A request that several
// servers have crashed on counts as poison and is refused; an answer whose server did not
// crash is resumed.
//
// The platform is the external service that lists the hosts and stores key-value pairs
// with revisions. An order is a request that runs at most once. Its key is claimed in the
// platform before the request is sent, and its outcome is recorded there. Every refusal is
// numbered and stored in the platform through the ledger, and states whether the request
// may have run.
//
// The routers of a fleet find each other by a membership protocol and spread announcements
// by gossip. An incarnation is one run of a router or server, identified by its start time
// in the fields named Start. In each failure domain one router holds a lease as leader; it
// may write the configuration in the platform and command engines.
package dtstate
