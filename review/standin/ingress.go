package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Ingress forwards the connections of clients to a machine. When the machine loses power, its open connections
// go silent: nothing arrives on them any more, nor are they closed.
type Ingress struct {
	Address string

	target string
	mu     sync.Mutex
	dark   *atomic.Bool // Of the connections that are open now.
}

// StartIngress starts an ingress at ip for a machine.
func StartIngress(ip string, r *Router) (*Ingress, error) {
	ln, err := listen(ip)
	if err != nil {
		return nil, err
	}
	in := &Ingress{Address: ln.Addr().String(), target: r.Frontend, dark: &atomic.Bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			in.mu.Lock()
			dark := in.dark
			in.mu.Unlock()
			go in.forward(c, dark)
		}
	}()
	return in, nil
}

// LosePower has the open connections go silent; those that are opened later work.
func (in *Ingress) LosePower() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.dark.Store(true)
	in.dark = &atomic.Bool{}
}

func (in *Ingress) forward(c net.Conn, dark *atomic.Bool) {
	defer c.Close()
	machine, err := net.Dial("tcp", in.target)
	if err != nil {
		return
	}
	defer machine.Close()
	clientLeft := make(chan struct{})
	go func() {
		_, _ = io.Copy(machine, c)
		close(clientLeft)
		_ = machine.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := machine.Read(buffer)
		if dark.Load() {
			<-clientLeft
			return
		}
		if n > 0 {
			if _, err := c.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
