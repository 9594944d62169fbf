import { randomBytes } from 'node:crypto';
import type { Channel } from './channel.js';
import { computeProof } from './compute-proof.js';
import { IDENTITY_SCHEMA } from './identity-schema.js';
import type { Identity } from './identity.js';
import { PROOF_SCHEMA } from './proof-schema.js';
import { verifyProof } from './verify-proof.js';

/**
 * Runs the connecting side of the mutual challenge-response authentication. Returns the identity of the peer, or `undefined`
 * when the peer does not prove that it knows the secret.
 */
export async function authenticateClient(
  channel: Channel,
  self: Identity,
  secret: string,
): Promise<Identity | undefined> {
  const nonce = randomBytes(16).toString('hex');
  channel.send({ id: 0, type: 'hello', body: { ...self, nonce } });
  const answer = await channel.next();
  const server = IDENTITY_SCHEMA.safeParse(answer?.body).data;
  const proof = PROOF_SCHEMA.safeParse(answer?.body).data;
  if (answer?.type !== 'challenge' || server === undefined || proof === undefined) return undefined;
  const parts = [self.address, self.instance, nonce, server.address, server.instance, server.nonce];
  if (!verifyProof(proof.proof, computeProof(secret, 'server', parts))) return undefined;
  channel.send({ id: 0, type: 'proof', body: { proof: computeProof(secret, 'client', parts) } });
  const welcome = await channel.next();
  return welcome?.type === 'welcome' ? server : undefined;
}
