package io.jasmineford.core.lease

import com.google.common.hash.Hashing

/** Shard of [name], by MurmurHash3 and jump consistent hash; equal on every VM and across restarts. */
fun shardOf(name: String, shards: Int): Int {
    val hash = Hashing.murmur3_128().hashString(name, Charsets.UTF_8)
    return Hashing.consistentHash(hash, shards)
}
