import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import { z } from 'zod';

/**
 * Message with the version of the configuration that a host knows: message kind, host, version, age of the last confirmation by the store
 * in milliseconds (null without one), whether the receiver is asked for its own, and the number of the question that is asked or answered.
 */
export const FLOOR_MESSAGE_SCHEMA = z.tuple([
  z.literal(MESSAGE_KINDS.configFloor),
  z.string(),
  z.number().nonnegative(),
  z.number().nonnegative().nullable(),
  z.boolean(),
  z.number().int().nonnegative(),
]);
