/** A simulated service that counts the executions of each idempotency key. */
@NullMarked
package dev.jayturn.lab.service;

import org.jspecify.annotations.NullMarked;
