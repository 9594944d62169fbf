import { createListSchema, createRecordSchema } from '@laburnumshift/check-lists';
import { z } from 'zod';

const CHANGE = z.tuple([
  z.string().describe('engine'),
  z.string().describe('boot id'),
  z.boolean().describe('whether the engine lost all earlier pieces'),
  createListSchema(z.number().nonnegative()).describe(
    'per event: twice the index of the scope, plus 1 when the piece was added',
  ),
  z.string().describe('piece ids of the events, one per line'),
  createListSchema(z.number().nonnegative()).describe('tokens'),
]);

const OBJECT_CHANGE = z.object({
  isRemoved: z.boolean(),
  object: z.object({ name: z.string(), revision: z.number(), spec: z.unknown(), status: z.unknown() }),
});

/** Changes of one kind of platform objects after the revision `after`; ages in milliseconds. */
const KIND_CHANGES = z.object({
  after: z.number(),
  changes: createListSchema(OBJECT_CHANGE),
  revision: z.number(),
  ageMs: z.number().nonnegative(),
  changedMs: z.number().nonnegative(),
  /** Time since the end of the last outage of the store, milliseconds; null when there was none. */
  recoveredMs: z.number().nonnegative().nullable(),
});

/** Response of a relay: changes after the requested position. */
export const RELAY_PAGE = z.object({
  /** Id of the relay process; positions are valid only within one. */
  life: z.string(),
  /** Position from which to request the next changes. */
  next: z.number().nonnegative(),
  /** Time on the clock of the engines, milliseconds; null when it is not known. */
  clockMs: z.number().nullable(),
  /** Engines and stores whose last read by the relay succeeded. */
  reading: createListSchema(z.string()),
  scopes: createListSchema(z.string()),
  changes: createListSchema(CHANGE),
  /** Time for which the relay held the request, milliseconds. */
  heldMs: z.number().nonnegative().default(0),
  /** Whether the platform store does not answer the relay. */
  isStoreDown: z.boolean().default(false),
  /** Changes of platform objects by kind; null where the relay does not know the changes after the requested revision. */
  objects: createRecordSchema(KIND_CHANGES.nullable()),
});
