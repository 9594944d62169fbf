/** Home of a cell of engines: directory, load, queue, placement and retention. */
export {};
