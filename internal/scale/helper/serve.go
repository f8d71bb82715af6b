package helper

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"os"

	"sandpass/internal/scale/standin"
)

// Run runs the helper that RoleEnv selects, until its input ends. It reports whether this process is a helper.
func Run() (bool, error) {
	role := Role(os.Getenv(RoleEnv))
	if role == "" {
		return false, nil
	}
	log.SetOutput(io.Discard)
	var handle func(*Request) (*Response, error)
	switch role {
	case Discovery:
		d := &discoveryHelper{}
		defer d.close()
		handle = d.handle
	case InProcess:
		h := &inProcessHelper{}
		log.SetOutput(&h.reloads)
		defer h.stopAll()
		handle = h.handle
	default:
		return true, fmt.Errorf("%s: unknown role %q", RoleEnv, role)
	}
	return true, serve(os.Stdin, os.Stdout, handle)
}

// serve handles requests until the input ends.
func serve(in io.Reader, out io.Writer, handle func(*Request) (*Response, error)) error {
	decoder, encoder := json.NewDecoder(bufio.NewReader(in)), json.NewEncoder(out)
	for {
		var request Request
		if err := decoder.Decode(&request); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		response, err := handle(&request)
		if response == nil {
			response = &Response{}
		}
		if err != nil {
			response.Error = err.Error()
		}
		if err := encoder.Encode(response); err != nil {
			return err
		}
	}
}

// discoveryHelper is the helper that runs the discovery stand-in.
type discoveryHelper struct {
	standin *standin.Discovery
}

// close stops the stand-in.
func (d *discoveryHelper) close() {
	if d.standin != nil {
		d.standin.Close()
		d.standin = nil
	}
}

// handle handles one request.
func (d *discoveryHelper) handle(r *Request) (*Response, error) {
	if r.Discover != nil {
		return nil, d.start(r.Discover)
	}
	if d.standin == nil {
		return nil, errors.New("discovery has not been started")
	}
	switch {
	case r.Change != nil:
		for _, list := range r.Change.Lists {
			if err := d.standin.Update(list, r.Change.Endpoints); err != nil {
				return nil, err
			}
		}
	case r.Silence != nil:
		d.standin.SetSilent(r.Silence.Agents, r.Silence.Silent)
	case len(r.CloseConnections) > 0:
		d.standin.CloseConnections(r.CloseConnections)
	case r.Traffic:
		traffic, watching := d.standin.Traffic()
		return &Response{Traffic: traffic, OpenWatches: watching}, nil
	default:
		return nil, errors.New("request not supported by the discovery helper")
	}
	return nil, nil
}

// start starts the stand-in with its lists and agents, in place of one that runs.
func (d *discoveryHelper) start(r *Discover) error {
	d.close()
	d.standin = standin.NewDiscovery(r.Lists)
	for _, a := range r.Agents {
		if err := d.standin.Listen(a.Address, a.List); err != nil {
			d.close()
			return err
		}
	}
	return nil
}
