/** The events of a simulated world in the order of their time, and the generator that a seed stands for. */

/** An event that nobody waits for any more (an timer that was cancelled, a horizon that was met) is passed over. */
export type Event = Readonly<{ at: number; order: number; action: () => void; wanted: (() => boolean) | undefined }>;

/** A small generator with a good spread; the seed is the whole of its state. */
export function generator(seed: number): () => number {
  let state = (seed * 2_654_435_761 + 1) >>> 0;
  return function next() {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

function earlier(left: Event, right: Event): boolean {
  return left.at !== right.at ? left.at < right.at : left.order < right.order;
}

/** A binary heap: the earliest event first, and of two at one time the one pushed first. */
export function queue(): Readonly<{ push: (event: Event) => void; pop: () => Event | undefined; peek: () => Event | undefined }> {
  const heap: Event[] = [];

  function swap(left: number, right: number): void {
    const kept = heap[left] as Event;
    heap[left] = heap[right] as Event;
    heap[right] = kept;
  }

  function push(event: Event): void {
    heap.push(event);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!earlier(heap[index] as Event, heap[parent] as Event)) break;
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
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < heap.length && earlier(heap[child] as Event, heap[least] as Event)) least = child;
      }
      if (least === index) return first;
      swap(index, least);
      index = least;
    }
  }

  return { push, pop, peek: () => heap[0] };
}
