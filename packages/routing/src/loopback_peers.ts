/**
 * Calls of routing that bypass the network when the called daemon is this host.
 */
import type {SavoryspurError} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {ResultAsync} from 'neverthrow';
import type {RoutingEndpoint, RoutingPeers} from './routing_peers.js';

/** Runs a local call asynchronously, like a remote call. */
function runLocally<T>(
  run: () => T | Promise<T>,
): ResultAsync<T, SavoryspurError> {
  return ResultAsync.fromSafePromise(Promise.resolve().then(run));
}

/**
 * Makes calls to daemons; calls to this host reach its endpoint directly.
 *
 * @param self - this host
 * @param remote - calls other hosts
 * @param getEndpoint - gets this host's endpoint
 */
export function createLoopbackPeers(
  self: PeerInfo,
  remote: RoutingPeers,
  getEndpoint: () => RoutingEndpoint,
): RoutingPeers {
  const isSelf = (peer: PeerInfo): boolean => peer.host === self.host;
  return {
    acquire: (peer, input) =>
      isSelf(peer)
        ? runLocally(() => getEndpoint().handleAcquire(self, input))
        : remote.acquire(peer, input),
    release: (peer, input) =>
      isSelf(peer)
        ? runLocally(() => getEndpoint().handleRelease(self, input))
        : remote.release(peer, input),
    revoke: (peer, input) =>
      isSelf(peer)
        ? runLocally(() => getEndpoint().handleRevoke(self, input))
        : remote.revoke(peer, input),
    register: (peer, input) =>
      isSelf(peer)
        ? runLocally(() => getEndpoint().handleRegister(self, input))
        : remote.register(peer, input),
    suspect: (peer, input) =>
      isSelf(peer)
        ? runLocally(() => getEndpoint().handleSuspect(self, input))
        : remote.suspect(peer, input),
    convict: (peer, input) =>
      isSelf(peer)
        ? runLocally(() => getEndpoint().handleConvict(self, input))
        : remote.convict(peer, input),
  };
}
