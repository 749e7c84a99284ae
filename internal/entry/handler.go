package entry

import (
	"context"
	"errors"
	"fmt"

	"cactusspar/internal/dispatch"
	"cactusspar/internal/peer"
)

// peerHandler handles the messages of other entry instances.
type peerHandler struct {
	service *dispatch.Service
	tickets *ticketRegistry
}

// HandleRequest handles one request message. It accepts entry instances only.
func (h *peerHandler) HandleRequest(ctx context.Context, from peer.Identity, method string, body []byte) (any, error) {
	if from.Role != peer.RoleEntry {
		return nil, &peer.RemoteError{Code: "role", Text: fmt.Sprintf("%s is for entry instances, the sender is %q", method, from.Role)}
	}
	switch method {
	case dispatch.MethodAcquire:
		return h.acquire(ctx, from.ID, body)
	case dispatch.MethodRelease:
		return h.release(from.ID, body)
	case dispatch.MethodCancel:
		return h.cancel(from.ID, body)
	case dispatch.MethodAnnounce:
		var a dispatch.AnnounceBatch
		if err := peer.Decode(body, &a); err != nil {
			return nil, err
		}
		h.service.Announce(a)
		return nil, nil
	case dispatch.MethodHeld:
		var q dispatch.HeldQuery
		if err := peer.Decode(body, &q); err != nil {
			return nil, err
		}
		return h.held(q, from.ID), nil
	case dispatch.MethodCopy:
		var c dispatch.RecordCopy
		if err := peer.Decode(body, &c); err != nil {
			return nil, err
		}
		return nil, h.service.Copy(c)
	}
	return nil, &peer.RemoteError{Code: "method", Text: fmt.Sprintf("unknown method %q", method)}
}

// HandleOneWay ignores one-way messages: entry instances send none.
func (h *peerHandler) HandleOneWay(peer.Identity, string, []byte) {}

func (h *peerHandler) acquire(ctx context.Context, from string, body []byte) (any, error) {
	var a dispatch.AcquireRequest
	if err := peer.Decode(body, &a); err != nil {
		return nil, err
	}
	ticket, err := h.service.Acquire(ctx, from, a)
	if err == nil {
		return acquireResponse{Ticket: &ticket}, nil
	}
	var refusal *dispatch.Refusal
	if errors.As(err, &refusal) {
		return acquireResponse{Refusal: refusal}, nil
	}
	return nil, err
}

func (h *peerHandler) release(from string, body []byte) (any, error) {
	var r releaseBatch
	if err := peer.Decode(body, &r); err != nil {
		return nil, err
	}
	for _, item := range r.Items {
		h.service.Release(from, item)
	}
	return nil, nil
}

func (h *peerHandler) cancel(from string, body []byte) (any, error) {
	var c cancelBatch
	if err := peer.Decode(body, &c); err != nil {
		return nil, err
	}
	for _, item := range c.Items {
		h.service.Cancel(from, item.Pool, item.Request, item.Try)
	}
	return nil, nil
}

// held returns the tickets and records of a pool to its new dispatcher. The
// tickets are in the first page of the response only.
func (h *peerHandler) held(q dispatch.HeldQuery, from string) dispatch.HeldResponse {
	response := h.service.Held(q)
	if q.From == 0 {
		// The response already has the tickets that this instance gave out as the
		// former dispatcher; these are the ones it uses itself.
		response.Tickets = append(response.Tickets, h.tickets.handOver(q, from)...)
	}
	return response
}
