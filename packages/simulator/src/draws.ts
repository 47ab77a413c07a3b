/** What a simulated run draws from its seed: one of several items, or a number of a range. */
import type { World } from './world.js';

/** Whatever runs in a simulated world. */
type InWorld = Readonly<{ world: Pick<World, 'fraction'> }>;

/** One of the items, which must not be none. */
export function pick<Item>({ world }: InWorld, items: readonly Item[]): Item {
  return items[Math.floor(world.fraction() * items.length)] as Item;
}

/** A number from the least up to the most. */
export function between({ world }: InWorld, least: number, most: number): number {
  return least + world.fraction() * (most - least);
}
