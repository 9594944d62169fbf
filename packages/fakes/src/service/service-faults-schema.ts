import { z } from 'zod';

/** Fault switches; each `lost` switch counts down with the calls that it hits. */
export const SERVICE_FAULTS_SCHEMA = z.object({
  /** Calls that run, but whose answer is lost. */
  lostAfterRun: z.number().int().nonnegative(),
  /** Calls that are lost before they run. */
  lostBeforeRun: z.number().int().nonnegative(),
  /** How an answer is lost: the connection is cut, or stays open without an answer. */
  lostBy: z.enum(['cut', 'silence']),
  /** Time that each call takes, milliseconds. */
  slowMs: z.number().nonnegative(),
  /** True makes the connections that are open now silent for good; later ones work. */
  silenceOpen: z.boolean(),
  refuseConnections: z.boolean(),
  /** True stops the process; false starts it again with a new boot id. */
  crashed: z.boolean(),
  leaving: z.boolean(),
});
