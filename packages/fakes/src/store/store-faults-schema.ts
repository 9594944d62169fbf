import { z } from 'zod';
import { POINT_FAULTS } from './point-faults.js';
import { STORE_POINTS } from './store-points.js';

/** Checks the body of `PUT /faults` of the fake store; absent switches stay as they are. */
export const storeFaultsSchema = z
  .strictObject({
    dead: z.boolean(),
    full: z.boolean(),
    linkFactor: z.number().positive(),
    otherShare: z.number().min(0).max(0.99),
    silenceOpen: z.boolean(),
    points: z.partialRecord(z.enum(STORE_POINTS), z.enum(POINT_FAULTS)),
  })
  .partial();
