import { randomBytes } from 'node:crypto';
import type { Channel } from './channel.js';
import { computeProof } from './compute-proof.js';
import { IDENTITY_SCHEMA } from './identity-schema.js';
import type { Identity } from './identity.js';
import { PROOF_SCHEMA } from './proof-schema.js';
import { verifyProof } from './verify-proof.js';

/**
 * Runs the accepting side of the mutual challenge-response authentication. Returns the identity of the peer, or `undefined`
 * when the peer does not prove that it knows the secret.
 */
export async function authenticateServer(
  channel: Channel,
  self: Identity,
  secret: string,
): Promise<Identity | undefined> {
  const hello = await channel.next();
  const client = IDENTITY_SCHEMA.safeParse(hello?.body).data;
  if (hello?.type !== 'hello' || client === undefined) return undefined;
  const nonce = randomBytes(16).toString('hex');
  const parts = [client.address, client.instance, client.nonce, self.address, self.instance, nonce];
  channel.send({
    id: 0,
    type: 'challenge',
    body: { ...self, nonce, proof: computeProof(secret, 'server', parts) },
  });
  const answer = await channel.next();
  const proof = PROOF_SCHEMA.safeParse(answer?.body).data;
  if (answer?.type !== 'proof' || proof === undefined) return undefined;
  if (!verifyProof(proof.proof, computeProof(secret, 'client', parts))) return undefined;
  channel.send({ id: 0, type: 'welcome', body: null });
  return client;
}
