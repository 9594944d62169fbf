import type { Site } from '@laburnumshift/fakes/site';
import type { BookingOperation } from '../history/booking-operation.js';
import type { CompletionOperation } from '../history/completion-operation.js';
import type { History } from '../history/history.js';
import type { Publication } from '../history/publication.js';
import type { Outage } from '../history/outage.js';
import type { CallerClients } from './caller-clients.js';
import type { Fleet } from './fleet.js';

/** The parts and records of one run. */
export interface RunContext {
  readonly site: Site;
  readonly fleet: Fleet;
  readonly clients: CallerClients;
  readonly completions: CompletionOperation[];
  readonly bookings: BookingOperation[];
  readonly publications: Publication[];
  readonly outages: Outage[];
  readonly leavings: History['leavings'][number][];
  readonly generations: History['generations'][number][];
}
