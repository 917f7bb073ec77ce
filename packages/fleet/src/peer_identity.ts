/** Signed identities on connections between daemons. */
import {type PeerInfo, validatePeerInfo} from '@savoryspur/schema';
import {createHmac, timingSafeEqual} from 'node:crypto';

/** Header that carries the caller's or the server's identity. */
export const IDENTITY_HEADER = 'x-savoryspur-peer';

/** Header that carries the caller's nonce. */
export const NONCE_HEADER = 'x-savoryspur-nonce';

/** Header that carries the signature over role, nonce and identity. */
export const SIGNATURE_HEADER = 'x-savoryspur-signature';

/** Side of the connection that a signature is valid for. */
export enum IdentityRole {
  CALLER = 'caller',
  SERVER = 'server',
}

/** Headers of a signed identity. */
export interface IdentityHeaders {
  [header: string]: string;
}

/**
 * Signs the identity of a daemon.
 *
 * @param info - the daemon that signs
 * @param role - side of the connection that the daemon is on
 * @param nonce - random value chosen by the caller
 * @param secret - secret shared by the daemons of the fleet
 */
export function signIdentity(
  info: PeerInfo,
  role: IdentityRole,
  nonce: string,
  secret: string,
): IdentityHeaders {
  const identity = Buffer.from(JSON.stringify(info)).toString('base64url');
  return {
    [IDENTITY_HEADER]: identity,
    [NONCE_HEADER]: nonce,
    [SIGNATURE_HEADER]: computeSignature(identity, role, nonce, secret),
  };
}

/**
 * Verifies the identity in the headers that the other side sent.
 *
 * @param headers - headers as received
 * @param role - side of the connection that must have signed
 * @param nonce - nonce that the signature must cover
 * @param secret - secret shared by the daemons of the fleet
 * @returns the daemon, or undefined when the signature is not valid
 */
export function verifyIdentity(
  headers: NodeJS.Dict<string | string[]>,
  role: IdentityRole,
  nonce: string,
  secret: string,
): PeerInfo | undefined {
  const identity = headers[IDENTITY_HEADER];
  const signature = headers[SIGNATURE_HEADER];
  if (typeof identity !== 'string' || typeof signature !== 'string') {
    return undefined;
  }
  const expected = Buffer.from(computeSignature(identity, role, nonce, secret));
  const found = Buffer.from(signature);
  if (expected.length !== found.length) return undefined;
  if (!timingSafeEqual(expected, found)) return undefined;
  return parseIdentity(identity);
}

function parseIdentity(identity: string): PeerInfo | undefined {
  try {
    const value: unknown = JSON.parse(
      Buffer.from(identity, 'base64url').toString('utf8'),
    );
    return validatePeerInfo(value).unwrapOr(undefined as unknown as PeerInfo);
  } catch (thrown) {
    return undefined;
  }
}

function computeSignature(
  identity: string,
  role: IdentityRole,
  nonce: string,
  secret: string,
): string {
  return createHmac('sha256', secret)
    .update(`${role}\n${nonce}\n${identity}`)
    .digest('base64url');
}
