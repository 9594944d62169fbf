import type { z } from 'zod';
import type { RELAY_PAGE } from './relay-page-schema.js';

/** Response of a relay. */
export type RelayPage = z.infer<typeof RELAY_PAGE>;
