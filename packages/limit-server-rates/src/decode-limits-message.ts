import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import { z } from 'zod';
import type { LimitsMessage } from './limits-message.js';

/** Bounds that keep a faulty host from filling the memory of the others: characters, and elements of a message. */
const MAX_NAME_LENGTH = 256;
const MAX_ELEMENTS = 64;

const NAME = z.string().min(1).max(MAX_NAME_LENGTH);
const NON_NEGATIVE = z.number().nonnegative();
const SCHEMA = z.tuple([
  z.literal(MESSAGE_KINDS.serverLimits),
  NAME,
  z.boolean(),
  z.array(z.tuple([NAME, z.number(), NAME, NON_NEGATIVE.nullable(), NON_NEGATIVE])).max(MAX_ELEMENTS),
  z.array(z.tuple([NAME, NON_NEGATIVE])).max(MAX_ELEMENTS),
]);

/** Decodes a message with limits; `undefined` when it is malformed. */
export function decodeLimitsMessage(message: readonly unknown[]): LimitsMessage | undefined {
  return SCHEMA.safeParse(message).data;
}
