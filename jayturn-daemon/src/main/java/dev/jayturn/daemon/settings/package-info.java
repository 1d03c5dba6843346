/** Settings from an INI file, validated on load. */
@NullMarked
package dev.jayturn.daemon.settings;

import org.jspecify.annotations.NullMarked;
