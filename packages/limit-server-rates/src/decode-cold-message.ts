import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import { z } from 'zod';
import type { ColdMessage } from './cold-message.js';

/** Bounds that keep a faulty host from harming others: characters, elements of a message, and the longest cold time, milliseconds. */
const MAX_NAME_LENGTH = 256;
const MAX_ELEMENTS = 64;
const MAX_COLD_MS = 600_000;

const NAME = z.string().min(1).max(MAX_NAME_LENGTH);
const SCHEMA = z.tuple([
  z.literal(MESSAGE_KINDS.coldServers),
  NAME,
  z.array(z.tuple([NAME, z.number(), z.number().positive().max(MAX_COLD_MS)])).max(MAX_ELEMENTS),
]);

/** Decodes a message with cold servers; `undefined` when it is malformed. */
export function decodeColdMessage(message: readonly unknown[]): ColdMessage | undefined {
  return SCHEMA.safeParse(message).data;
}
