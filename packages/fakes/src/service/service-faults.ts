import type { z } from 'zod';
import type { SERVICE_FAULTS_SCHEMA } from './service-faults-schema.js';

/** Fault switches of a fake plain service. */
export type ServiceFaults = z.infer<typeof SERVICE_FAULTS_SCHEMA>;
