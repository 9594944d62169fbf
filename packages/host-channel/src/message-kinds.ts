/** Numbers of the message kinds between hosts, as sent. */
export const MESSAGE_KINDS = {
  /** Load of the sender. */
  hostLoad: 0,
  /** Load of a relay, which sends it, and of all hosts that report to it. */
  domainLoad: 1,
  /** Load of all hosts except the receiver. */
  otherHostsLoad: 2,
  /** How current the copies of platform objects at the sender are. */
  objectStates: 3,
  /** Placement request to the home host of a failure domain: which backend server a call is placed on. */
  placementRequest: 4,
  /** Answer to a placement request. */
  placementAnswer: 5,
  /** Traits of calls that may crash servers, with their crashes. */
  crashSuspects: 6,
  /** Limits that backend servers state, and the rates of calls by which the hosts share them. */
  serverLimits: 7,
  /** Version of the configuration that the sender knows, and question for that of the receiver. */
  configFloor: 8,
  /** Servers that stated in answers to the sender that they are cold. */
  coldServers: 9,
} as const;
