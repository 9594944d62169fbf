/** Weighted fair queue with priorities, reserved slots and deadlines. */
export {};
