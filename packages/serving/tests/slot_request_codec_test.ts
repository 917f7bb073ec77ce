import {validateSlotAcquireRequest} from '@savoryspur/schema';
import {expect} from 'chai';
import type {SlotRequest} from '../src/slots/slot_allocator.js';
import {
  decodeSlotRequest,
  encodeSlotRequest,
} from '../src/slots/slot_request_codec.js';

describe('Slot request codec', () => {
  const request: SlotRequest = {
    service: 'chat',
    route: 'chat',
    isBatch: false,
    isRetryable: true,
    workspace: 'w',
    priority: 0,
    dueMs: 300,
    fastRefusalUntilMs: 65,
    waitDeadlineMs: 1200,
    callerDeadlineMs: 5000,
    prefix: [],
    excluded: [],
  };

  /** Sends the request to an owner with some features; fails when its validator refuses the message. */
  function sendRequest(features: readonly string[]) {
    const input = encodeSlotRequest(request, 'g', 0, (feature) =>
      features.includes(feature),
    );
    const message = validateSlotAcquireRequest(
      JSON.parse(JSON.stringify(input)),
    )._unsafeUnwrap();
    return decodeSlotRequest(message, {host: 'host', zone: 'z'}, 0);
  }

  it('tells an owner of this release whether the request may be repeated', () => {
    const received = sendRequest(['call_times', 'retryable_requests']);
    expect(received.isRetryable).to.equal(true);
    expect(received.route).to.equal('chat');
  });

  it('leaves the field out for an owner that does not announce it', () => {
    expect(sendRequest(['call_times']).isRetryable).to.equal(undefined);
    expect(sendRequest([]).route).to.equal(undefined);
  });

  // An owner of the previous build refuses the field, and knows no such deadline.
  it('tells only an owner that announces it when the caller stops waiting', () => {
    const received = sendRequest(['caller_deadline']);
    expect(received.callerDeadlineMs).to.equal(5000);
    expect(sendRequest(['call_times'])).not.to.have.property(
      'callerDeadlineMs',
    );
  });
});
