/** Group membership and failure detection by gossip between nodes, after the SWIM protocol. */
export { detectMembers } from './detect-members.js';
export type { DetectMembersOptions } from './detect-members-options.js';
export type { FailureDetectorTiming } from './failure-detector-timing.js';
