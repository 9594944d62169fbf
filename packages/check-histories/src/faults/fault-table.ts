import { ENGINE_FAULT_HANDLERS } from './engine-fault-handlers.js';
import { NODE_FAULT_HANDLERS } from './node-fault-handlers.js';
import { PLATFORM_FAULT_HANDLERS } from './platform-fault-handlers.js';
import { SERVICE_FAULT_HANDLERS } from './service-fault-handlers.js';
import { STORE_FAULT_HANDLERS } from './store-fault-handlers.js';

/** All faults, one handler each. */
export const FAULT_TABLE = {
  ...PLATFORM_FAULT_HANDLERS,
  ...ENGINE_FAULT_HANDLERS,
  ...STORE_FAULT_HANDLERS,
  ...SERVICE_FAULT_HANDLERS,
  ...NODE_FAULT_HANDLERS,
};
