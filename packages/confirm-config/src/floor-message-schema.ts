import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import { z } from 'zod';

/**
 * Message with the version of the configuration that a host knows: message kind, host, version, age of the last confirmation by the store
 * in milliseconds (null without one), and whether the receiver is asked for its own.
 */
export const FLOOR_MESSAGE_SCHEMA = z.tuple([
  z.literal(MESSAGE_KINDS.configFloor),
  z.string(),
  z.number().nonnegative(),
  z.number().nonnegative().nullable(),
  z.boolean(),
]);
