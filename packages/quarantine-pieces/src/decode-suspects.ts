import { readMonotonicMs } from '@laburnumshift/clock';
import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import { z } from 'zod';
import type { Suspect } from './suspect.js';

/** Bounds that keep a faulty host from filling the memory of the others: characters, and elements of a message. */
const MAX_NAME_LENGTH = 256;
const MAX_ELEMENTS = 64;

const NAME = z.string().min(1).max(MAX_NAME_LENGTH);
const AGE = z.number().nonnegative();
const SCHEMA = z.tuple([
  z.literal(MESSAGE_KINDS.crashSuspects),
  NAME,
  z
    .array(
      z.tuple([
        NAME,
        z.int(),
        z
          .array(z.tuple([NAME, z.number(), AGE]))
          .min(1)
          .max(MAX_ELEMENTS),
        AGE.nullable(),
        AGE.nullable(),
      ]),
    )
    .max(MAX_ELEMENTS),
]);

/** Decodes a message with suspects; `undefined` when it is malformed. */
export function decodeSuspects(
  message: readonly unknown[],
): { readonly host: string; readonly suspects: readonly Suspect[] } | undefined {
  const parsed = SCHEMA.safeParse(message);
  if (!parsed.success) return undefined;
  const [, host, suspects] = parsed.data;
  const now = readMonotonicMs();
  const decodeAge = (ageMs: number | null): number => (ageMs === null ? -Infinity : now - ageMs);
  return {
    host,
    suspects: suspects.map(([trait, position, crashes, clearedAgeMs, trialAgeMs]) => ({
      trait,
      position,
      crashes: crashes.map(([server, bornMs, ageMs]) => ({ server, bornMs, atMs: now - ageMs })),
      clearedAtMs: decodeAge(clearedAgeMs),
      trialAtMs: decodeAge(trialAgeMs),
    })),
  };
}
