import {expect} from 'chai';
import type {SlotRequest} from '../src/slots/slot_allocator.js';
import {
  decodeSlotRequest,
  encodeSlotRequest,
} from '../src/slots/slot_request_codec.js';

describe('slot requests between daemons', () => {
  const request: SlotRequest = {
    service: 'llm',
    route: 'chat',
    isBatch: false,
    workspace: 'w',
    priority: 0,
    dueMs: 1300,
    fastRefusalUntilMs: 1065,
    waitDeadlineMs: 2200,
    callerDeadlineMs: 6000,
    prefix: [],
    excluded: [],
  };

  function sendRequest(isAnnounced: boolean) {
    const message = encodeSlotRequest(request, 'g', 1000, () => isAnnounced);
    return decodeSlotRequest(message, {host: 'h', zone: 'z'}, 50);
  }

  it('keeps the deadline of the caller on the clock of the owner', () => {
    expect(sendRequest(true).callerDeadlineMs).to.equal(5050);
  });

  // A daemon of the previous build sends no deadline.
  it('has no deadline of the caller where none was sent', () => {
    expect(sendRequest(false)).not.to.have.property('callerDeadlineMs');
  });
});
