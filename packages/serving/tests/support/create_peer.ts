/** Daemons of tests. */
import type {PeerInfo} from '@savoryspur/schema';

/**
 * Creates a daemon, whose incarnation is named after its host.
 *
 * @param host - name of the host
 * @param zone - availability zone of the host
 */
export function createPeer(host: string, zone = 'zone-a'): PeerInfo {
  return {
    host,
    zone,
    region: 'region',
    address: '127.0.0.1',
    peerPort: 1,
    incarnation: `run-${host}`,
  };
}
