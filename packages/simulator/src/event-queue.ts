/** The event queue of a simulation, ordered by time, and the seeded pseudorandom generator. */

/** An event is skipped if `isNeeded` returns false at its time, for example because a timer was cancelled or a timeout no longer applies. */
export type Event = Readonly<{ time: number; order: number; action: () => void; isNeeded: (() => boolean) | undefined }>;

/** A small pseudorandom generator (mulberry32) with a good distribution, whose only state is derived from the seed. */
export function randomGenerator(seed: number): () => number {
  let state = (seed * 2_654_435_761 + 1) >>> 0;
  return function next() {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

function isEarlier(left: Event, right: Event): boolean {
  return left.time !== right.time ? left.time < right.time : left.order < right.order;
}

/** A binary heap: the earliest event comes first, and of two events at the same time the one pushed first. */
export function eventQueue(): Readonly<{ push: (event: Event) => void; pop: () => Event | undefined; peek: () => Event | undefined }> {
  const heap: Event[] = [];

  function swap(left: number, right: number): void {
    const event = heap[left] as Event;
    heap[left] = heap[right] as Event;
    heap[right] = event;
  }

  function push(event: Event): void {
    heap.push(event);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isEarlier(heap[index] as Event, heap[parent] as Event)) break;
      swap(index, parent);
      index = parent;
    }
  }

  function pop(): Event | undefined {
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) return first;
    heap[0] = last;
    let index = 0;
    for (;;) {
      let earliest = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < heap.length && isEarlier(heap[child] as Event, heap[earliest] as Event)) earliest = child;
      }
      if (earliest === index) return first;
      swap(index, earliest);
      index = earliest;
    }
  }

  return { push, pop, peek: () => heap[0] };
}
