/** Failure detection and membership among nodes. */
export { detectMembers } from './detect-members.js';
export type { DetectMembersOptions } from './detect-members-options.js';
export type { MemberTiming } from './member-timing.js';
