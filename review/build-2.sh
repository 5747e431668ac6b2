#!/bin/bash
# Builds the stand-ins of review/4 to review/8. They are Python scripts on the standard library, so there is
# nothing to build; the gateways come from the build command of the deploy file.
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "python3 of 3.11 or later is missing"; exit 1; }
