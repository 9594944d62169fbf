import { z } from 'zod';
import { STREAM_FAULT_KINDS } from './stream-fault-kinds.js';

/** Checks the body of `PUT /faults` of the fake engine; absent switches stay as they are. */
export const engineFaultsSchema = z
  .strictObject({
    crashMarker: z.string(),
    crashNow: z.boolean(),
    silenceOpen: z.boolean(),
    streamFaults: z.array(
      z.strictObject({
        kind: z.enum(STREAM_FAULT_KINDS),
        afterTokens: z.number().int().min(0),
        streams: z.number().int().min(0),
      }),
    ),
    answerDelayMs: z.number().min(0),
    loseEvery: z.number().int().min(0),
    extraEventDelayMs: z.number().min(0),
    loadReports: z.enum(['live', 'frozen', 'failing']),
    refuse: z.boolean(),
    leaving: z.boolean(),
    otherShare: z.number().min(0).max(0.99),
  })
  .partial();
